/**
 * HTTP/1.1 connections at both edges. They sit on Netty's codec directly, on Vert.x's event loop, because the gateway
 * has to see what an HTTP client hides: bytes after a whole answer, an answer to an earlier request, and whether a
 * connection was closed or reset.
 */
@NullMarked
package org.celerygw.gateway.net;

import org.jspecify.annotations.NullMarked;
