package org.celerygw.cli;

/** Starts the program. */
public final class Main {
    private Main() {}

    /**
     * Starts the program.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(new org.celerygw.cli.demo.Demo(org.celerygw.cli.demo.Demo.Options.DEFAULT, System.out).run());
    }
}
