/**
 * Simulates engines and their workload in virtual time to compare scheduling policies: continuous batching, prefill and
 * decode rates, a prefix cache with eviction, and program traces from fixed seeds.
 *
 * <p>Start from {@link EngineModel} and {@link TraceGenerator}.
 */
@NullMarked
package org.celerygw.standin.model;

import org.jspecify.annotations.NullMarked;
