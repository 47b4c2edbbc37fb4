package org.coriandercrank.kernel.plugin;

import java.util.Map;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.coriandercrank.kernel.backend.BackendServerFactory;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.placement.BalancingPolicy;
import org.coriandercrank.kernel.placement.PlacementPolicy;

/**
 * Adapters and policies of the plug-ins, by kind and name. Thread safe. A name can be registered once for each kind.
 */
public final class PluginRegistry {
    /** A kind of registered object, and its type. Immutable. */
    public record Kind<T>(String label, Class<T> type) {
        public static final Kind<StoreFactory> STORE = new Kind<>("store adapter", StoreFactory.class);
        public static final Kind<BackendServerFactory> BACKEND =
                new Kind<>("backend adapter", BackendServerFactory.class);
        public static final Kind<PlacementPolicy> PLACEMENT = new Kind<>("placement policy", PlacementPolicy.class);
        public static final Kind<BalancingPolicy> BALANCING = new Kind<>("balancing policy", BalancingPolicy.class);
    }

    private final Map<Kind<?>, Map<String, Object>> entries = new ConcurrentHashMap<>();

    /** Registers all plug-ins on the class path. */
    public static PluginRegistry load() {
        PluginRegistry registry = new PluginRegistry();
        for (Plugin plugin : ServiceLoader.load(Plugin.class)) {
            plugin.register(registry);
        }
        return registry;
    }

    public <T> void register(Kind<T> kind, String name, T value) {
        Map<String, Object> byName = entries.computeIfAbsent(kind, k -> new ConcurrentHashMap<>());
        if (byName.putIfAbsent(name, value) != null) {
            throw new IllegalStateException(kind.label() + " registered twice: " + name);
        }
    }

    /** @throws CrankException with {@link ResultCode#SETTING_INVALID} if nothing is registered under the name */
    public <T> T get(Kind<T> kind, String name) {
        Object value = entries.getOrDefault(kind, Map.of()).get(name);
        if (value == null) {
            throw new CrankException(
                    ResultCode.SETTING_INVALID,
                    "no " + kind.label() + " named " + name + "; available: " + names(kind));
        }
        return kind.type().cast(value);
    }

    public Set<String> names(Kind<?> kind) {
        return new TreeMap<>(entries.getOrDefault(kind, Map.of())).keySet();
    }
}
