package org.coriandercrank.kernel.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Suggests a known name for a mistyped one. Stateless. */
public final class SpellingSuggestion {
    private SpellingSuggestion() {}

    /**
     * The name with the smallest edit distance, if that distance is at most a third of the length of the mistyped name.
     */
    public static Optional<String> find(String mistyped, Collection<String> names) {
        return names.stream()
                .min(Comparator.comparingInt((String name) -> editDistance(mistyped, name))
                        .thenComparing(Comparator.naturalOrder()))
                .filter(name -> 3 * editDistance(mistyped, name) <= mistyped.length());
    }

    /**
     * Minimum number of insertions, deletions, replacements and swaps of adjacent characters that turn one text into
     * the other.
     */
    private static int editDistance(String from, String to) {
        int[][] distances = new int[from.length() + 1][to.length() + 1];
        for (int row = 0; row <= from.length(); row++) {
            for (int column = 0; column <= to.length(); column++) {
                if (row == 0 || column == 0) {
                    distances[row][column] = row + column;
                    continue;
                }
                int withReplacement =
                        distances[row - 1][column - 1] + (from.charAt(row - 1) == to.charAt(column - 1) ? 0 : 1);
                int minimum =
                        Math.min(withReplacement, 1 + Math.min(distances[row - 1][column], distances[row][column - 1]));
                boolean isTransposition = row > 1
                        && column > 1
                        && from.charAt(row - 1) == to.charAt(column - 2)
                        && from.charAt(row - 2) == to.charAt(column - 1);
                distances[row][column] =
                        isTransposition ? Math.min(minimum, distances[row - 2][column - 2] + 1) : minimum;
            }
        }
        return distances[from.length()][to.length()];
    }
}
