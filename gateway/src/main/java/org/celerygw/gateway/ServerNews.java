package org.celerygw.gateway;

import java.util.Optional;
import org.celerygw.core.servers.BackendServer;

/**
 * What the store says of one backend server.
 *
 * @param id the server's id
 * @param server its entry; empty when it is gone or names no server that could be used
 */
public record ServerNews(String id, Optional<BackendServer> server) {}
