/** Asynchronous interfaces to the platform's storage: a transactional table and an object store. */
@NullMarked
package org.celerygw.core.store;

import org.jspecify.annotations.NullMarked;
