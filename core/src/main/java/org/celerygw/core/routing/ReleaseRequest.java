package org.celerygw.core.routing;

import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.ProgramId;

/**
 * A request to an engine to release the memory that it holds for a program that is no longer alive.
 *
 * @param engine the engine that receives the request
 * @param program the program whose memory is to be released
 */
public record ReleaseRequest(BackendServerId engine, ProgramId program) {}
