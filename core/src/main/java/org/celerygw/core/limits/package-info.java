/** Request limits that servers name, kept by all hosts together: permits to send, issued by one host for each server. */
@NullMarked
package org.celerygw.core.limits;

import org.jspecify.annotations.NullMarked;
