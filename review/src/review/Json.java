package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(at);
        switch (c) {
            case '{' -> {
                Map<String, Object> map = new LinkedHashMap<>();
                at++;
                while (next() != '}') {
                    String key = (String) value();
                    expect(':');
                    map.put(key, value());
                    if (next() == ',') {
                        at++;
                    }
                }
                at++;
                return map;
            }
            case '[' -> {
                List<Object> list = new ArrayList<>();
                at++;
                while (next() != ']') {
                    list.add(value());
                    if (next() == ',') {
                        at++;
                    }
                }
                at++;
                return list;
            }
            case '"' -> {
                return string();
            }
            default -> {
                int start = at;
                while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
                    at++;
                }
                String word = text.substring(start, at);
                return switch (word) {
                    case "true" -> Boolean.TRUE;
                    case "false" -> Boolean.FALSE;
                    case "null" -> null;
                    default -> word.contains(".") ? (Object) Double.valueOf(word) : (Object) Long.valueOf(word);
                };
            }
        }
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                char e = text.charAt(at++);
                switch (e) {
                    case 'n' -> out.append('\n');
                    case 't' -> out.append('\t');
                    case 'r' -> out.append('\r');
                    case 'u' -> {
                        out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> out.append(e);
                }
            } else {
                out.append(c);
            }
        }
        at++;
        return out.toString();
    }

    private char next() {
        skipSpace();
        return text.charAt(at);
    }

    private void expect(char c) {
        if (next() != c) {
            throw new IllegalArgumentException("expected " + c + " at " + at);
        }
        at++;
    }

    private void skipSpace() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> e : map.entrySet()) {
                out.append(comma).append('"').append(e.getKey()).append("\":");
                write(e.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String comma = "";
            for (Object e : list) {
                out.append(comma);
                write(e, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String s) {
            out.append('"').append(s.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n")).append('"');
        } else {
            out.append(value);
        }
    }
}
