package org.coriandercrank.kernel.plugin;

/** A plug-in, found by {@link java.util.ServiceLoader}. It registers adapters and policies. */
@FunctionalInterface
public interface Plugin {
    void register(PluginRegistry registry);
}
