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
 * {@code celerygw customer|budget|class|key ...}: typed edits of the configuration. An edit reads the version in force
 * and proposes its successor; when somebody else was faster it fails with the conflict and changes nothing.
 */
final class EditCommands {
    private EditCommands() {}

    static void add(Subparsers groups) {
        addCustomer(Arguments.group(groups, "customer", "customers and their limits"));
        addBudget(Arguments.group(groups, "budget", "customers' ceilings of tokens"));
        addClass(Arguments.group(groups, "class", "priority classes"));
        addKey(Arguments.group(groups, "key", "callers' keys"));
    }

    private static void addCustomer(Subparsers group) {
        Arguments.remote(group, "list", "list customers", EditCommands::listCustomers);
        Subparser set = edit(group, "set", "add or change a customer", EditCommands::setCustomer);
        set.addArgument("customer");
        set.addArgument("--share").type(Double.class).help("its weight among customers, 1 by default");
        set.addArgument("--max-calls").type(Integer.class).help("its most calls under way, 0 for no limit");
        edit(group, "remove", "remove a customer and its keys", EditCommands::removeCustomer)
                .addArgument("customer");
    }

    private static void addBudget(Subparsers group) {
        Arguments.remote(group, "list", "list customers with their ceilings", EditCommands::listCustomers);
        Subparser set = edit(group, "set", "set a customer's ceiling", EditCommands::setCeiling);
        set.addArgument("customer");
        set.addArgument("tokens").type(Long.class).help("the most tokens that it may spend, 0 for no limit");
    }

    private static void addClass(Subparsers group) {
        Arguments.remote(group, "list", "list priority classes", EditCommands::listClasses);
        Subparser set = edit(group, "set", "add or change a priority class", EditCommands::setClass);
        set.addArgument("name");
        set.addArgument("--rank").type(Integer.class).help("0 goes first");
        set.addArgument("--ageing-ms").type(Long.class).help("waiting this long raises a call by one rank");
        set.addArgument("--default-deadline-ms").type(Long.class);
        edit(group, "remove", "remove a priority class", EditCommands::removeClass)
                .addArgument("name");
    }

    private static void addKey(Subparsers group) {
        Subparser add = edit(group, "add", "let a caller's key stand for a customer", EditCommands::addKeyHash);
        add.addArgument("customer");
        addKeyArguments(add);
        Subparser remove = edit(group, "remove", "take a caller's key out of force", EditCommands::removeKeyHash);
        remove.addArgument("customer");
        addKeyArguments(remove);
    }

    private static void addKeyArguments(Subparser parser) {
        var given = parser.addMutuallyExclusiveGroup().required(true);
        given.addArgument("--caller-key-file").metavar("FILE").help("a file with the caller's key");
        given.addArgument("--sha256").metavar("HEX").help("the SHA-256 of the caller's key");
    }

    private static Subparser edit(
            Subparsers group, String name, String help, BiConsumer<Session, Configuration.Builder> edit) {
        Subparser parser = Arguments.remote(group, name, help, session -> propose(session, name, edit));
        ConfigCommands.addSeen(parser).help("the version that you saw; the one in force by default");
        return parser;
    }

    private static int propose(Session session, String name, BiConsumer<Session, Configuration.Builder> edit) {
        ConfigReply current = ConfigCommands.fetch(session, 0);
        long seen = session.optionalNumber("seen").orElse(current.getVersion());
        Configuration.Builder content = current.getConfiguration().toBuilder();
        edit.accept(session, content);
        String reason = session.text("reason");
        return ConfigCommands.propose(
                session, seen, content.build(), reason.isEmpty() ? name + " by command line" : reason);
    }

    private static int listCustomers(Session session) {
        ConfigReply current = ConfigCommands.fetch(session, 0);
        session.output()
                .table(
                        current.getConfiguration(),
                        List.of("CUSTOMER", "CEILING", "SHARE", "MAX CALLS", "KEYS"),
                        current.getConfiguration().getCustomersList().stream()
                                .map(c -> Output.row(
                                        c.getId(),
                                        limit(c.getCeilingTokens()),
                                        c.getShare(),
                                        limit(c.getMaxCalls()),
                                        c.getKeySha256HexCount()))
                                .toList());
        return 0;
    }

    private static int listClasses(Session session) {
        ConfigReply current = ConfigCommands.fetch(session, 0);
        session.output()
                .table(
                        current.getConfiguration(),
                        List.of("CLASS", "RANK", "AGEING MS", "DEFAULT DEADLINE MS"),
                        current.getConfiguration().getClassesList().stream()
                                .map(c ->
                                        Output.row(c.getName(), c.getRank(), c.getAgeingMs(), c.getDefaultDeadlineMs()))
                                .toList());
        return 0;
    }

    private static void setCustomer(Session session, Configuration.Builder content) {
        String id = Check.name(session.text("customer"), "customer");
        int at = customerIndex(content, id).orElseGet(() -> {
            content.addCustomers(Customer.newBuilder().setId(id).setShare(1));
            return content.getCustomersCount() - 1;
        });
        Customer.Builder customer = content.getCustomersBuilder(at);
        session.optional("share").ifPresent(share -> customer.setShare(Double.parseDouble(share)));
        session.optionalNumber("max_calls").ifPresent(calls -> customer.setMaxCalls(calls.intValue()));
    }

    private static void removeCustomer(Session session, Configuration.Builder content) {
        content.removeCustomers(knownCustomer(session, content));
    }

    private static void setCeiling(Session session, Configuration.Builder content) {
        content.getCustomersBuilder(knownCustomer(session, content))
                .setCeilingTokens(Check.notNegative(session.number("tokens"), "tokens"));
    }

    private static void setClass(Session session, Configuration.Builder content) {
        String name = Check.name(session.text("name"), "name");
        int at = classIndex(content, name).orElseGet(() -> {
            content.addClasses(PriorityClass.newBuilder().setName(name));
            return content.getClassesCount() - 1;
        });
        PriorityClass.Builder priorityClass = content.getClassesBuilder(at);
        session.optionalNumber("rank").ifPresent(rank -> priorityClass.setRank(rank.intValue()));
        session.optionalNumber("ageing_ms").ifPresent(priorityClass::setAgeingMs);
        session.optionalNumber("default_deadline_ms").ifPresent(priorityClass::setDefaultDeadlineMs);
    }

    private static void removeClass(Session session, Configuration.Builder content) {
        String name = session.text("name");
        content.removeClasses(classIndex(content, name).orElseThrow(() -> notFound("priority class " + name)));
    }

    private static void addKeyHash(Session session, Configuration.Builder content) {
        Customer.Builder customer = content.getCustomersBuilder(knownCustomer(session, content));
        String hash = keyHash(session);
        if (!customer.getKeySha256HexList().contains(hash)) {
            customer.addKeySha256Hex(hash);
        }
    }

    private static void removeKeyHash(Session session, Configuration.Builder content) {
        Customer.Builder customer = content.getCustomersBuilder(knownCustomer(session, content));
        String hash = keyHash(session);
        List<String> kept = customer.getKeySha256HexList().stream()
                .filter(known -> !known.equals(hash))
                .toList();
        if (kept.size() == customer.getKeySha256HexCount()) {
            throw notFound("such a key of customer " + customer.getId());
        }
        customer.clearKeySha256Hex().addAllKeySha256Hex(kept);
    }

    private static String keyHash(Session session) {
        Optional<String> given = session.optional("sha256");
        if (given.isPresent()) {
            Check.that(given.get().matches("[0-9a-f]{64}"), "--sha256 must be 64 lower-case hexadecimal digits");
            return given.get();
        }
        String key = Session.read(session.text("caller_key_file")).strip();
        Check.that(!key.isEmpty(), "the key file is empty");
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    private static int knownCustomer(Session session, Configuration.Builder content) {
        String id = session.text("customer");
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

    private static GatewayException notFound(String what) {
        return new GatewayException(ErrorCode.NOT_FOUND, "there is no " + what);
    }

    private static String limit(long value) {
        return value == 0 ? "none" : Long.toString(value);
    }
}
