/** Runs one case by its name, with its folder for the record. */
public final class Run {
    private Run() {}

    public static void main(String[] args) {
        try {
            Case toRun =
                    switch (args[0]) {
                        case "smuggled" -> new Smuggled(args[1]);
                        case "stop-stream" -> new StopStream(args[1]);
                        case "long-chain" -> new LongChain(args[1]);
                        case "budgets" -> new Budgets(args[1]);
                        case "versions" -> new Versions(args[1]);
                        case "poison" -> new Poison(args[1]);
                        default -> throw new IllegalArgumentException(args[0]);
                    };
            toRun.run();
        } catch (Throwable e) {
            e.printStackTrace();
            Runtime.getRuntime().halt(2);
        }
    }
}
