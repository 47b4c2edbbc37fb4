package org.coriandercrank.kernel.plugin;

/** A plug-in found by {@link java.util.ServiceLoader}; it registers what it offers. */
@FunctionalInterface
public interface Plugin {
    void register(PluginRegistry registry);
}
