package org.coriandercrank.kernel.settings;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.coriandercrank.kernel.code.CrankException;

/**
 * The command line of a program: its settings, {@code --help} and {@code --version}. Immutable.
 *
 * @param program name of the program
 * @param synopsis text that follows the name in the first line of the usage
 * @param out receives usage and version
 * @param err receives error messages
 */
public record CommandLine(String program, String synopsis, PrintStream out, PrintStream err) {
    /** Exit code for invalid settings or arguments. */
    public static final int EXIT_USAGE = 2;

    private static final String HELP = "--help";
    private static final String VERSION = "--version";

    /** The command line of a program that accepts only flags. */
    public static CommandLine of(String program) {
        return new CommandLine(program, "[--FLAG VALUE]...", System.out, System.err);
    }

    /**
     * Loads the settings of a program, or ends the process if they are invalid or only help or version was requested.
     */
    public static <T extends Settings> T loadOrExit(String program, T settings, String[] arguments) {
        OptionalInt exitCode = of(program).load(settings, List.of(arguments), System.getenv());
        if (exitCode.isPresent()) {
            System.exit(exitCode.getAsInt());
        }
        return settings;
    }

    /**
     * Loads settings. Returns an exit code if the program must not run, because its output is already complete; empty
     * otherwise.
     */
    public OptionalInt load(Settings settings, List<String> arguments, Map<String, String> environment) {
        if (arguments.contains(HELP)) {
            out.println("usage: " + program + " " + synopsis);
            out.println("Each flag may also be given as an environment variable, such as "
                    + SettingsLoader.variableName(SettingsLoader.flags(settings).get(0)) + ".");
            out.println(SettingsLoader.usage(settings));
            return OptionalInt.of(0);
        }
        if (arguments.contains(VERSION)) {
            out.println(program + " " + version());
            return OptionalInt.of(0);
        }
        try {
            SettingsLoader.load(settings, arguments, environment);
            return OptionalInt.empty();
        } catch (CrankException e) {
            err.println(e.code() + " (" + e.code().number() + "):\n" + e.getMessage());
            err.println(program + " " + HELP + " lists the flags");
            return OptionalInt.of(EXIT_USAGE);
        }
    }

    private static String version() {
        return Optional.ofNullable(CommandLine.class.getPackage().getImplementationVersion())
                .orElse("(unpackaged build)");
    }
}
