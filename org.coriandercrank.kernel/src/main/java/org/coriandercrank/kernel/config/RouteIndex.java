package org.coriandercrank.kernel.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request. Immutable; built once for each configuration. */
public final class RouteIndex {
    /** Routes by host, sorted by descending length of the prefix. */
    private final Map<String, List<Route>> byHost = new HashMap<>();

    public RouteIndex(List<Route> routes) {
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        byHost.values()
                .forEach(list -> list.sort(Comparator.comparingInt(
                                (Route route) -> route.pathPrefix().length())
                        .reversed()));
    }

    /** The route of the host with the longest prefix of the path. */
    public Optional<Route> find(String host, String path) {
        for (Route route : byHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
