package org.coriandercrank.kernel.plugin;

import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.store.ObjectStore;

/** Creates a client of the object store at an address. */
@FunctionalInterface
public interface StoreFactory {
    ObjectStore open(HostAddress address, long callTimeoutMs);
}
