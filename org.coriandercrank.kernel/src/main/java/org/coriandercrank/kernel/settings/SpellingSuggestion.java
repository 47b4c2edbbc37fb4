package org.coriandercrank.kernel.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Finds the name that was probably meant by a mistyped one. Stateless. */
public final class SpellingSuggestion {
    private SpellingSuggestion() {}

    /** The name with the fewest edits, if they are at most a third of the length of the mistyped one. */
    public static Optional<String> find(String mistyped, Collection<String> names) {
        return names.stream()
                .min(Comparator.comparingInt((String name) -> edits(mistyped, name))
                        .thenComparing(Comparator.naturalOrder()))
                .filter(name -> 3 * edits(mistyped, name) <= mistyped.length());
    }

    /** Letters to insert, delete, replace or swap with their neighbour to get from one text to the other. */
    private static int edits(String from, String to) {
        int[][] edits = new int[from.length() + 1][to.length() + 1];
        for (int row = 0; row <= from.length(); row++) {
            for (int column = 0; column <= to.length(); column++) {
                if (row == 0 || column == 0) {
                    edits[row][column] = row + column;
                    continue;
                }
                int replaced = edits[row - 1][column - 1] + (from.charAt(row - 1) == to.charAt(column - 1) ? 0 : 1);
                int least = Math.min(replaced, 1 + Math.min(edits[row - 1][column], edits[row][column - 1]));
                boolean swapped = row > 1
                        && column > 1
                        && from.charAt(row - 1) == to.charAt(column - 2)
                        && from.charAt(row - 2) == to.charAt(column - 1);
                edits[row][column] = swapped ? Math.min(least, edits[row - 2][column - 2] + 1) : least;
            }
        }
        return edits[from.length()][to.length()];
    }
}
