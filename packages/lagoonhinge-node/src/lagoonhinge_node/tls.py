"""TLS contexts of the listeners and of calls to peers."""

from ssl import PROTOCOL_TLS_SERVER, SSLContext, create_default_context

from lagoonhinge_node.settings import NodeSettings


def listener_tls(settings: NodeSettings) -> SSLContext | None:
    """Return the context of both listeners; `None` for plain HTTP."""
    if settings.tls_cert is None or settings.tls_key is None:
        return None
    context = SSLContext(PROTOCOL_TLS_SERVER)
    context.load_cert_chain(settings.tls_cert, settings.tls_key)
    return context


def peer_tls(settings: NodeSettings) -> SSLContext | None:
    """Return the context of calls to peers; `None` for plain HTTP."""
    if settings.tls_cert is None:
        return None
    return create_default_context(cafile=settings.tls_ca)
