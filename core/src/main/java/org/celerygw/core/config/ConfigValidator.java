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

/** Validates a configuration and reports all of its problems, not only the first. */
final class ConfigValidator {
    /** The maximum encoded size of a configuration, so that it fits into one table row. */
    static final int MAX_BYTES = 256 * 1024;

    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
    private static final int MAX_PORT = 65_535;

    private final List<ConfigProblem> problems = new ArrayList<>();

    private ConfigValidator() {}

    static List<ConfigProblem> validate(Configuration content) {
        ConfigValidator validator = new ConfigValidator();
        validator.checkSize(content);
        validator.checkCustomers(content.getCustomersList());
        validator.checkClasses(content.getClassesList());
        validator.checkBackends(content.getBackendsList());
        validator.checkServices(content.getServicesList());
        validator.checkLimits(content.getLimits());
        return List.copyOf(validator.problems);
    }

    private void checkSize(Configuration content) {
        if (content.getSerializedSize() > MAX_BYTES) {
            addProblem("", ConfigProblem.Kind.TOO_LARGE, "the configuration exceeds " + MAX_BYTES + " bytes");
        }
    }

    private void checkCustomers(List<Customer> customers) {
        Set<String> ids = new HashSet<>();
        Set<String> keys = new HashSet<>();
        for (int i = 0; i < customers.size(); i++) {
            Customer customer = customers.get(i);
            String path = "customers[" + i + "].";
            checkName(path + "id", customer.getId(), ids);
            checkKeys(path, customer.getKeySha256HexList(), keys);
            checkNotNegative(path + "ceiling_tokens", customer.getCeilingTokens());
            checkNotNegative(path + "max_calls", customer.getMaxCalls());
            if (!(customer.getShare() >= 0) || Double.isInfinite(customer.getShare())) {
                addInvalid(path + "share", "must be a positive number, or 0 for the default");
            }
        }
    }

    private void checkKeys(String path, List<String> hashes, Set<String> seen) {
        for (int i = 0; i < hashes.size(); i++) {
            String field = path + "key_sha256_hex[" + i + "]";
            if (!SHA256_HEX.matcher(hashes.get(i)).matches()) {
                addInvalid(field, "must be 64 lower-case hexadecimal digits");
            } else if (!seen.add(hashes.get(i))) {
                addProblem(field, ConfigProblem.Kind.DUPLICATE, "the same key is listed twice");
            }
        }
    }

    private void checkClasses(List<PriorityClass> classes) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < classes.size(); i++) {
            PriorityClass priority = classes.get(i);
            String path = "classes[" + i + "].";
            checkName(path + "name", priority.getName(), names);
            checkNotNegative(path + "rank", priority.getRank());
            checkNotNegative(path + "ageing_ms", priority.getAgeingMs());
            checkNotNegative(path + "default_deadline_ms", priority.getDefaultDeadlineMs());
        }
    }

    private void checkBackends(List<BackendServer> backends) {
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < backends.size(); i++) {
            BackendServer backend = backends.get(i);
            String path = "backends[" + i + "].";
            checkName(path + "id", backend.getId(), ids);
            checkAddress(path, backend.getHost(), backend.getPort(), backend.getZone());
            if (backend.getModelsCount() == 0) {
                addProblem(path + "models", ConfigProblem.Kind.MISSING, "must name path least one model");
            }
            Set<String> models = new HashSet<>();
            for (int m = 0; m < backend.getModelsCount(); m++) {
                checkName(path + "models[" + m + "]", backend.getModels(m), models);
            }
        }
    }

    private void checkServices(List<Service> services) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < services.size(); i++) {
            Service service = services.get(i);
            String path = "services[" + i + "].";
            checkName(path + "name", service.getName(), names);
            checkAddress(path, service.getHost(), service.getPort(), service.getZone());
            checkNotNegative(path + "timeout_ms", service.getTimeoutMs());
            checkNotNegative(path + "max_calls", service.getMaxCalls());
            if (!service.getOutcomePath().isEmpty() && !service.getOutcomePath().startsWith("/")) {
                addInvalid(path + "outcome_path", "must begin with a slash");
            }
        }
    }

    private void checkLimits(Limits limits) {
        checkNotNegative("limits.max_body_bytes", limits.getMaxBodyBytes());
        checkNotNegative("limits.max_turns", limits.getMaxTurns());
        checkNotNegative("limits.default_budget_tokens", limits.getDefaultBudgetTokens());
        checkNotNegative("limits.program_time_to_live_ms", limits.getProgramTimeToLiveMs());
        checkNotNegative("limits.max_output_tokens", limits.getMaxOutputTokens());
    }

    private void checkAddress(String path, String host, int port, String zone) {
        checkName(path + "host", host, new HashSet<>());
        checkName(path + "zone", zone, new HashSet<>());
        if (port < 1 || port > MAX_PORT) {
            addInvalid(path + "port", "must be from 1 to 65535");
        }
    }

    private void checkName(String field, String value, Set<String> seen) {
        if (value.isEmpty()) {
            addProblem(field, ConfigProblem.Kind.MISSING, "must not be empty");
            return;
        }
        try {
            Check.name(value, field);
        } catch (GatewayException e) {
            addInvalid(field, "must be 1 to 200 letters, digits and . _ : @ / -");
            return;
        }
        if (!seen.add(value)) {
            addProblem(field, ConfigProblem.Kind.DUPLICATE, "duplicate value: " + value);
        }
    }

    private void checkNotNegative(String field, long value) {
        if (value < 0) {
            addInvalid(field, "must not be negative");
        }
    }

    private void addInvalid(String field, String message) {
        addProblem(field, ConfigProblem.Kind.INVALID, message);
    }

    private void addProblem(String field, ConfigProblem.Kind kind, String message) {
        problems.add(new ConfigProblem(field, kind, message));
    }
}
