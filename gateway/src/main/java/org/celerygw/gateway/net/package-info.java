/**
 * HTTP/1.1 connections to clients and to origins. They use Netty's codec directly on a Vert.x event loop, because the
 * gateway has to detect what an HTTP client library hides: bytes after a complete response, a response to an earlier
 * request, and whether a connection was closed or reset.
 */
@NullMarked
package org.celerygw.gateway.net;

import org.jspecify.annotations.NullMarked;
