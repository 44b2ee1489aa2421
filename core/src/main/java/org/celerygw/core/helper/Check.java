package org.celerygw.core.helper;

import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;

/** Argument checks that fail with {@link ErrorCode#INVALID_ARGUMENT}. */
public final class Check {
    private Check() {}

    /**
     * Passes when the condition holds.
     *
     * @param condition what must hold
     * @param message what to tell the caller otherwise
     * @throws GatewayException with code INVALID_ARGUMENT when it does not hold
     */
    public static void that(boolean condition, String message) {
        if (!condition) {
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, message);
        }
    }

    /**
     * Returns the text when it is a plain name: 1 to 200 letters, digits and {@code . _ : @ / -}.
     *
     * @param text the text to check
     * @param field the field's name, for the message
     * @return the same text
     * @throws GatewayException with code INVALID_ARGUMENT when it is not a plain name
     */
    public static String name(String text, String field) {
        that(text.length() <= 200 && !text.isEmpty(), field + " must have 1 to 200 characters");
        boolean plain = true;
        for (int i = 0; i < text.length() && plain; i++) {
            plain = isPlain(text.charAt(i));
        }
        that(plain, field + " may hold letters, digits and . _ : @ / - only");
        return text;
    }

    private static boolean isPlain(char c) {
        boolean letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        return letter || (c >= '0' && c <= '9') || "._:@/-".indexOf(c) >= 0;
    }

    /**
     * Returns the number when it is not negative.
     *
     * @param number the number to check
     * @param field the field's name with its unit, for the message
     * @return the same number
     * @throws GatewayException with code INVALID_ARGUMENT when it is negative
     */
    public static long notNegative(long number, String field) {
        that(number >= 0, field + " must not be negative");
        return number;
    }
}
