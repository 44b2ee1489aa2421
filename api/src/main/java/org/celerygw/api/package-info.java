/** Protobuf schemas of the operator API and the peer protocol; the generated classes are in {@code gen}. */
@NullMarked
package org.celerygw.api;

import org.jspecify.annotations.NullMarked;
