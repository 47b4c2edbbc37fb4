package org.coriandercrank.kernel.backend;

import org.coriandercrank.kernel.table.BackendInfo;

/** Connects to a backend server that announced itself, with at most {@code info.maxConnections()} connections. */
@FunctionalInterface
public interface BackendServerFactory {
    BackendServer connect(BackendInfo info);
}
