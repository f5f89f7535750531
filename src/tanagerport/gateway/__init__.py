"""Entry node for a shared platform: one asyncio process on each entry VM.

The platform's names and formats stay outside: an adapter decodes them into
the types of `tanagerport.gateway.domain` and passes an `HttpNames`, a
`TableStore` and the settings to `tanagerport.gateway.node`.
"""
