package org.celerygw.daemon;

/** Starts the program. */
public final class Main {
    private Main() {}

    /**
     * Starts the program.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(args.length == 0 ? 2 : 0);
    }
}
