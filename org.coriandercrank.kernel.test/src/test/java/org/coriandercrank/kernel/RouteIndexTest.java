package org.coriandercrank.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.coriandercrank.kernel.config.Route;
import org.coriandercrank.kernel.config.RouteIndex;
import org.coriandercrank.kernel.id.ServiceName;
import org.junit.jupiter.api.Test;

/** Guards against requests that take the wrong route when one path prefix contains another. */
class RouteIndexTest {
    private final RouteIndex index = new RouteIndex(List.of(
            route("wide", "a.example", "/x/"),
            route("narrow", "a.example", "/x/y/"),
            route("other-host", "b.example", "/x/y/z/")));

    private static Route route(String name, String host, String prefix) {
        return new Route(
                name, host, prefix, List.of(new Route.Target(new ServiceName("s"), 1)), true, 2, 1_000, 500, 1);
    }

    private String find(String host, String path) {
        return index.find(host, path).map(Route::name).orElse("none");
    }

    @Test
    void longestPrefixOfTheHostWins() {
        assertThat(find("a.example", "/x/y/z/1")).isEqualTo("narrow");
        assertThat(find("a.example", "/x/yy/1")).isEqualTo("wide");
        assertThat(find("b.example", "/x/y/z/1")).isEqualTo("other-host");
    }

    @Test
    void unknownHostOrPathHasNoRoute() {
        assertThat(find("c.example", "/x/")).isEqualTo("none");
        assertThat(find("b.example", "/x/y/")).isEqualTo("none");
        assertThat(find("a.example", "/x")).isEqualTo("none");
    }
}
