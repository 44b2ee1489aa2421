/** Schemas for operators and peers: see the .proto files; the generated code is in {@code gen}. */
@NullMarked
package org.celerygw.api;

import org.jspecify.annotations.NullMarked;
