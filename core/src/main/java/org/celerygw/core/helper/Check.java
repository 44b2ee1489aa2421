package org.celerygw.core.helper;

import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;

/** Argument checks that throw a {@link GatewayException} with {@link ErrorCode#INVALID_ARGUMENT}. */
public final class Check {
    private Check() {}

    /**
     * Checks a condition.
     *
     * @param condition the condition that must be true
     * @param message the message of the exception
     * @throws GatewayException with code INVALID_ARGUMENT if the condition is false
     */
    public static void that(boolean condition, String message) {
        if (!condition) {
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, message);
        }
    }

    /**
     * Checks that a text is a plain name: 1 to 200 letters, digits and {@code . _ : @ / -}.
     *
     * @param text the text to check
     * @param field the field's name, for the message
     * @return the same text
     * @throws GatewayException with code INVALID_ARGUMENT if it is not a plain name
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
     * Checks that a number is not negative.
     *
     * @param number the number to check
     * @param field the field's name with its unit, for the message
     * @return the same number
     * @throws GatewayException with code INVALID_ARGUMENT if it is negative
     */
    public static long notNegative(long number, String field) {
        that(number >= 0, field + " must not be negative");
        return number;
    }
}
