"""Gateway for a shared platform, one asyncio process on each entry VM.

The gateway does not depend on the platform's names and formats. An adapter
decodes them into the types of `tanagerport.gateway.domain` and passes an
`HttpNames`, a `TableStore` and the settings to `tanagerport.gateway.node`.
"""
