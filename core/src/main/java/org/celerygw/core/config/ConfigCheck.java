package org.celerygw.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.config.BackendServer;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.gen.config.Customer;
import org.celerygw.core.gen.config.Limits;
import org.celerygw.core.gen.config.PriorityClass;
import org.celerygw.core.gen.config.Service;
import org.celerygw.core.helper.Check;

/** Finds everything that is wrong in a configuration, not only the first thing. */
final class ConfigCheck {
    /** The most bytes of a configuration, so that it fits into one row. */
    static final int MAX_BYTES = 256 * 1024;

    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
    private static final int MAX_PORT = 65_535;

    private final List<ConfigProblem> problems = new ArrayList<>();

    private ConfigCheck() {}

    static List<ConfigProblem> problems(Configuration content) {
        ConfigCheck check = new ConfigCheck();
        check.size(content);
        check.customers(content.getCustomersList());
        check.classes(content.getClassesList());
        check.backends(content.getBackendsList());
        check.services(content.getServicesList());
        check.limits(content.getLimits());
        return List.copyOf(check.problems);
    }

    private void size(Configuration content) {
        if (content.getSerializedSize() > MAX_BYTES) {
            add("", ConfigProblem.Kind.TOO_LARGE, "the configuration exceeds " + MAX_BYTES + " bytes");
        }
    }

    private void customers(List<Customer> customers) {
        Set<String> ids = new HashSet<>();
        Set<String> keys = new HashSet<>();
        for (int i = 0; i < customers.size(); i++) {
            Customer customer = customers.get(i);
            String at = "customers[" + i + "].";
            name(at + "id", customer.getId(), ids);
            keys(at, customer.getKeySha256HexList(), keys);
            notNegative(at + "ceiling_tokens", customer.getCeilingTokens());
            notNegative(at + "max_calls", customer.getMaxCalls());
            if (!(customer.getShare() >= 0) || Double.isInfinite(customer.getShare())) {
                invalid(at + "share", "must be a positive number, or 0 for the default");
            }
        }
    }

    private void keys(String at, List<String> hashes, Set<String> seen) {
        for (int i = 0; i < hashes.size(); i++) {
            String field = at + "key_sha256_hex[" + i + "]";
            if (!SHA256_HEX.matcher(hashes.get(i)).matches()) {
                invalid(field, "must be 64 lower-case hexadecimal digits");
            } else if (!seen.add(hashes.get(i))) {
                add(field, ConfigProblem.Kind.DUPLICATE, "the same key stands twice");
            }
        }
    }

    private void classes(List<PriorityClass> classes) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < classes.size(); i++) {
            PriorityClass priority = classes.get(i);
            String at = "classes[" + i + "].";
            name(at + "name", priority.getName(), names);
            notNegative(at + "rank", priority.getRank());
            notNegative(at + "ageing_ms", priority.getAgeingMs());
            notNegative(at + "default_deadline_ms", priority.getDefaultDeadlineMs());
        }
    }

    private void backends(List<BackendServer> backends) {
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < backends.size(); i++) {
            BackendServer backend = backends.get(i);
            String at = "backends[" + i + "].";
            name(at + "id", backend.getId(), ids);
            address(at, backend.getHost(), backend.getPort(), backend.getZone());
            if (backend.getModelsCount() == 0) {
                add(at + "models", ConfigProblem.Kind.MISSING, "must name at least one model");
            }
            Set<String> models = new HashSet<>();
            for (int m = 0; m < backend.getModelsCount(); m++) {
                name(at + "models[" + m + "]", backend.getModels(m), models);
            }
        }
    }

    private void services(List<Service> services) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < services.size(); i++) {
            Service service = services.get(i);
            String at = "services[" + i + "].";
            name(at + "name", service.getName(), names);
            address(at, service.getHost(), service.getPort(), service.getZone());
            notNegative(at + "timeout_ms", service.getTimeoutMs());
            notNegative(at + "max_calls", service.getMaxCalls());
            if (!service.getOutcomePath().isEmpty() && !service.getOutcomePath().startsWith("/")) {
                invalid(at + "outcome_path", "must begin with a slash");
            }
        }
    }

    private void limits(Limits limits) {
        notNegative("limits.max_body_bytes", limits.getMaxBodyBytes());
        notNegative("limits.max_turns", limits.getMaxTurns());
        notNegative("limits.default_budget_tokens", limits.getDefaultBudgetTokens());
        notNegative("limits.program_time_to_live_ms", limits.getProgramTimeToLiveMs());
        notNegative("limits.max_output_tokens", limits.getMaxOutputTokens());
    }

    private void address(String at, String host, int port, String zone) {
        name(at + "host", host, new HashSet<>());
        name(at + "zone", zone, new HashSet<>());
        if (port < 1 || port > MAX_PORT) {
            invalid(at + "port", "must be from 1 to 65535");
        }
    }

    private void name(String field, String value, Set<String> seen) {
        if (value.isEmpty()) {
            add(field, ConfigProblem.Kind.MISSING, "must not be empty");
            return;
        }
        try {
            Check.name(value, field);
        } catch (GatewayException e) {
            invalid(field, "must be 1 to 200 letters, digits and . _ : @ / -");
            return;
        }
        if (!seen.add(value)) {
            add(field, ConfigProblem.Kind.DUPLICATE, "stands twice: " + value);
        }
    }

    private void notNegative(String field, long value) {
        if (value < 0) {
            invalid(field, "must not be negative");
        }
    }

    private void invalid(String field, String message) {
        add(field, ConfigProblem.Kind.INVALID, message);
    }

    private void add(String field, ConfigProblem.Kind kind, String message) {
        problems.add(new ConfigProblem(field, kind, message));
    }
}
