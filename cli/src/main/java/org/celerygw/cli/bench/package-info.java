/** Benchmarks of decision cost. Run {@code java -cp celerygw-cli-all.jar org.openjdk.jmh.Main RoutingBenchmark}. */
@NullMarked
package org.celerygw.cli.bench;

import org.jspecify.annotations.NullMarked;
