package org.celerygw.core.routing;

import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.ProgramId;

/**
 * An order to an engine to give up what it holds for a program that is gone.
 *
 * @param engine the engine
 * @param program the program
 */
public record Release(BackendServerId engine, ProgramId program) {}
