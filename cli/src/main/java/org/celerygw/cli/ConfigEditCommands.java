package org.celerygw.cli;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.celerygw.api.gen.operator.ConfigReply;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.gen.config.Customer;
import org.celerygw.core.gen.config.PriorityClass;
import org.celerygw.core.helper.Check;

/**
 * {@code celerygw customer|budget|class|key ...}: edits of single entries of the configuration. An edit reads
 * the active version and proposes its successor. When another version became active in between, the edit fails with
 * code CONFLICT and changes nothing.
 */
final class ConfigEditCommands {
    private ConfigEditCommands() {}

    static void add(Subparsers groups) {
        addCustomerCommands(CommandLine.addGroup(groups, "customer", "customers and their limits"));
        addBudgetCommands(CommandLine.addGroup(groups, "budget", "token ceilings of customers"));
        addClassCommands(CommandLine.addGroup(groups, "class", "priority classes"));
        addKeyCommands(CommandLine.addGroup(groups, "key", "caller keys"));
    }

    private static void addCustomerCommands(Subparsers group) {
        CommandLine.addDaemonCommand(group, "list", "list customers", ConfigEditCommands::listCustomers);
        Subparser set = addEditCommand(group, "set", "add or change a customer", ConfigEditCommands::setCustomer);
        set.addArgument("customer");
        set.addArgument("--share").type(Double.class).help("the fair-share weight of the customer, 1 by default");
        set.addArgument("--max-calls").type(Integer.class).help("maximum number of calls in flight, 0 for no limit");
        addEditCommand(group, "remove", "remove a customer and its keys", ConfigEditCommands::removeCustomer)
                .addArgument("customer");
    }

    private static void addBudgetCommands(Subparsers group) {
        CommandLine.addDaemonCommand(
                group, "list", "list customers with their token ceilings", ConfigEditCommands::listCustomers);
        Subparser set =
                addEditCommand(group, "set", "set the token ceiling of a customer", ConfigEditCommands::setCeiling);
        set.addArgument("customer");
        set.addArgument("tokens")
                .type(Long.class)
                .help("maximum number of tokens that the customer may spend, 0 for no limit");
    }

    private static void addClassCommands(Subparsers group) {
        CommandLine.addDaemonCommand(group, "list", "list priority classes", ConfigEditCommands::listClasses);
        Subparser set = addEditCommand(group, "set", "add or change a priority class", ConfigEditCommands::setClass);
        set.addArgument("name");
        set.addArgument("--rank").type(Integer.class).help("0 is the most urgent");
        set.addArgument("--ageing-ms").type(Long.class).help("waiting time that raises a call by one rank");
        set.addArgument("--default-deadline-ms").type(Long.class);
        addEditCommand(group, "remove", "remove a priority class", ConfigEditCommands::removeClass)
                .addArgument("name");
    }

    private static void addKeyCommands(Subparsers group) {
        Subparser add = addEditCommand(group, "add", "add a caller key to a customer", ConfigEditCommands::addKeyHash);
        add.addArgument("customer");
        addKeyArguments(add);
        Subparser remove = addEditCommand(
                group, "remove", "remove a caller key from a customer", ConfigEditCommands::removeKeyHash);
        remove.addArgument("customer");
        addKeyArguments(remove);
    }

    private static void addKeyArguments(Subparser parser) {
        var keySource = parser.addMutuallyExclusiveGroup().required(true);
        keySource.addArgument("--caller-key-file").metavar("FILE").help("a file that holds the caller key");
        keySource.addArgument("--sha256").metavar("HEX").help("the SHA-256 digest of the caller key");
    }

    private static Subparser addEditCommand(
            Subparsers group, String name, String help, BiConsumer<Session, Configuration.Builder> edit) {
        Subparser parser = CommandLine.addDaemonCommand(group, name, help, session -> proposeEdit(session, name, edit));
        ConfigCommands.addChangeOptions(parser)
                .help("the version that the change is based on; default: the active version");
        return parser;
    }

    private static int proposeEdit(Session session, String name, BiConsumer<Session, Configuration.Builder> edit) {
        ConfigReply current = ConfigCommands.fetchConfig(session, 0);
        long seenVersion = session.optionalNumber("seen").orElse(current.getVersion());
        Configuration.Builder content = current.getConfiguration().toBuilder();
        edit.accept(session, content);
        String reason = session.requiredText("reason");
        return ConfigCommands.propose(
                session, seenVersion, content.build(), reason.isEmpty() ? name + " by command line" : reason);
    }

    private static int listCustomers(Session session) {
        ConfigReply current = ConfigCommands.fetchConfig(session, 0);
        session.output()
                .printTable(
                        current.getConfiguration(),
                        List.of("CUSTOMER", "CEILING", "SHARE", "MAX CALLS", "KEYS"),
                        current.getConfiguration().getCustomersList().stream()
                                .map(c -> Output.row(
                                        c.getId(),
                                        formatLimit(c.getCeilingTokens()),
                                        c.getShare(),
                                        formatLimit(c.getMaxCalls()),
                                        c.getKeySha256HexCount()))
                                .toList());
        return 0;
    }

    private static int listClasses(Session session) {
        ConfigReply current = ConfigCommands.fetchConfig(session, 0);
        session.output()
                .printTable(
                        current.getConfiguration(),
                        List.of("CLASS", "RANK", "AGEING MS", "DEFAULT DEADLINE MS"),
                        current.getConfiguration().getClassesList().stream()
                                .map(c ->
                                        Output.row(c.getName(), c.getRank(), c.getAgeingMs(), c.getDefaultDeadlineMs()))
                                .toList());
        return 0;
    }

    private static void setCustomer(Session session, Configuration.Builder content) {
        String id = Check.name(session.requiredText("customer"), "customer");
        int index = customerIndex(content, id).orElseGet(() -> {
            content.addCustomers(Customer.newBuilder().setId(id).setShare(1));
            return content.getCustomersCount() - 1;
        });
        Customer.Builder customer = content.getCustomersBuilder(index);
        session.optionalText("share").ifPresent(share -> customer.setShare(Double.parseDouble(share)));
        session.optionalNumber("max_calls").ifPresent(calls -> customer.setMaxCalls(calls.intValue()));
    }

    private static void removeCustomer(Session session, Configuration.Builder content) {
        content.removeCustomers(requireCustomerIndex(session, content));
    }

    private static void setCeiling(Session session, Configuration.Builder content) {
        content.getCustomersBuilder(requireCustomerIndex(session, content))
                .setCeilingTokens(Check.notNegative(session.requiredNumber("tokens"), "tokens"));
    }

    private static void setClass(Session session, Configuration.Builder content) {
        String name = Check.name(session.requiredText("name"), "name");
        int index = classIndex(content, name).orElseGet(() -> {
            content.addClasses(PriorityClass.newBuilder().setName(name));
            return content.getClassesCount() - 1;
        });
        PriorityClass.Builder priorityClass = content.getClassesBuilder(index);
        session.optionalNumber("rank").ifPresent(rank -> priorityClass.setRank(rank.intValue()));
        session.optionalNumber("ageing_ms").ifPresent(priorityClass::setAgeingMs);
        session.optionalNumber("default_deadline_ms").ifPresent(priorityClass::setDefaultDeadlineMs);
    }

    private static void removeClass(Session session, Configuration.Builder content) {
        String name = session.requiredText("name");
        content.removeClasses(classIndex(content, name).orElseThrow(() -> notFound("priority class " + name)));
    }

    private static void addKeyHash(Session session, Configuration.Builder content) {
        Customer.Builder customer = content.getCustomersBuilder(requireCustomerIndex(session, content));
        String hash = keyHash(session);
        if (!customer.getKeySha256HexList().contains(hash)) {
            customer.addKeySha256Hex(hash);
        }
    }

    private static void removeKeyHash(Session session, Configuration.Builder content) {
        Customer.Builder customer = content.getCustomersBuilder(requireCustomerIndex(session, content));
        String hash = keyHash(session);
        List<String> remaining = customer.getKeySha256HexList().stream()
                .filter(known -> !known.equals(hash))
                .toList();
        if (remaining.size() == customer.getKeySha256HexCount()) {
            throw notFound("key with this SHA-256 digest for customer " + customer.getId());
        }
        customer.clearKeySha256Hex().addAllKeySha256Hex(remaining);
    }

    private static String keyHash(Session session) {
        Optional<String> sha256Hex = session.optionalText("sha256");
        if (sha256Hex.isPresent()) {
            Check.that(sha256Hex.get().matches("[0-9a-f]{64}"), "--sha256 must be 64 lower-case hexadecimal digits");
            return sha256Hex.get();
        }
        String key = Session.readFile(session.requiredText("caller_key_file")).strip();
        Check.that(!key.isEmpty(), "the key file is empty");
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    private static int requireCustomerIndex(Session session, Configuration.Builder content) {
        String id = session.requiredText("customer");
        return customerIndex(content, id).orElseThrow(() -> notFound("customer " + id));
    }

    private static Optional<Integer> customerIndex(Configuration.Builder content, String id) {
        return IntStream.range(0, content.getCustomersCount())
                .filter(i -> content.getCustomers(i).getId().equals(id))
                .boxed()
                .findFirst();
    }

    private static Optional<Integer> classIndex(Configuration.Builder content, String name) {
        return IntStream.range(0, content.getClassesCount())
                .filter(i -> content.getClasses(i).getName().equals(name))
                .boxed()
                .findFirst();
    }

    private static GatewayException notFound(String description) {
        return new GatewayException(ErrorCode.NOT_FOUND, "there is no " + description);
    }

    private static String formatLimit(long value) {
        return value == 0 ? "none" : Long.toString(value);
    }
}
