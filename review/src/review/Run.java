package review;

import java.lang.reflect.InvocationTargetException;

/** Starts the program of a case; ends with 2 when the case itself fails. */
public final class Run {
    /** Exit code of a program that has seen its rule broken; 1 is what a JVM ends with when it cannot start it. */
    static final int BROKEN = 11;

    private Run() {}

    public static void main(String[] args) {
        try {
            Class.forName("review." + args[0])
                    .getMethod("main", String[].class)
                    .invoke(null, (Object) new String[] {args[1], args[2]});
        } catch (InvocationTargetException e) {
            e.getCause().printStackTrace();
            System.exit(2);
        } catch (ReflectiveOperationException | RuntimeException e) {
            e.printStackTrace();
            System.exit(2);
        }
    }
}
