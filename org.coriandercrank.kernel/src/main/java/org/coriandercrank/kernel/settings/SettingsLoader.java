package org.coriandercrank.kernel.settings;

import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.NamedOptionDef;
import org.kohsuke.args4j.spi.OptionHandler;

/**
 * Fills settings from environment variables and flags; a flag takes precedence. The variable of the flag {@code
 * --store-address} is {@code CRANK_STORE_ADDRESS}. Stateless.
 */
public final class SettingsLoader {
    private static final String VARIABLE_PREFIX = "CRANK_";

    private SettingsLoader() {}

    /**
     * Fills and validates settings.
     *
     * @param settings receives the values; a field without flag and variable keeps its default
     * @param arguments flags as {@code --name value} or {@code --name=value}
     * @throws CrankException with {@link ResultCode#SETTING_INVALID} and one line for each error
     */
    public static <T extends Settings> T load(T settings, List<String> arguments, Map<String, String> environment) {
        ValidationErrors errors = new ValidationErrors();
        CmdLineParser parser = new CmdLineParser(settings);
        for (OptionHandler<?> handler : parser.getOptions()) {
            String flag = ((NamedOptionDef) handler.option).name();
            String value = environment.get(variableName(flag));
            if (value != null) {
                parseValue(settings, flag, value, variableName(flag), errors);
            }
        }
        parseArguments(settings, arguments, errors);
        settings.validate(errors);
        if (!errors.isEmpty()) {
            throw new CrankException(ResultCode.SETTING_INVALID, String.join("\n", errors.messages()));
        }
        return settings;
    }

    /** Name of the environment variable that corresponds to a flag. */
    public static String variableName(String flag) {
        return VARIABLE_PREFIX + flag.substring("--".length()).replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /** Names of the flags, sorted. */
    static List<String> flags(Settings settings) {
        return new CmdLineParser(settings)
                .getOptions().stream()
                        .map(handler -> ((NamedOptionDef) handler.option).name())
                        .sorted()
                        .toList();
    }

    /** Usage text of the flags. */
    public static String usage(Settings settings) {
        StringWriter out = new StringWriter();
        new CmdLineParser(settings).printUsage(out, null);
        return out.toString();
    }

    private static void parseArguments(Settings settings, List<String> arguments, ValidationErrors errors) {
        List<String> flags = flags(settings);
        List<String> remaining = new ArrayList<>(arguments);
        while (!remaining.isEmpty()) {
            String flag = remaining.remove(0);
            int equalsSign = flag.indexOf('=');
            String name = equalsSign >= 0 ? flag.substring(0, equalsSign) : flag;
            if (!flags.contains(name)) {
                errors.add(name, unknownFlagMessage(name, flags));
                if (name.startsWith("--") && equalsSign < 0) {
                    skipValue(remaining);
                }
            } else if (equalsSign >= 0) {
                parseValue(settings, name, flag.substring(equalsSign + 1), name, errors);
            } else if (remaining.isEmpty()) {
                errors.add(flag, "needs a value");
            } else {
                parseValue(settings, flag, remaining.remove(0), flag, errors);
            }
        }
    }

    private static String unknownFlagMessage(String name, List<String> flags) {
        return SpellingSuggestion.find(name, flags)
                .map(suggestion -> "is not a flag; did you mean " + suggestion + "?")
                .orElse("is not a flag");
    }

    /** Skips the value of an unknown flag, which must not be reported as a second error. */
    private static void skipValue(List<String> remaining) {
        if (!remaining.isEmpty() && !remaining.get(0).startsWith("--")) {
            remaining.remove(0);
        }
    }

    private static void parseValue(
            Settings settings, String flag, String value, String source, ValidationErrors errors) {
        try {
            new CmdLineParser(settings).parseArgument(flag, value);
        } catch (CmdLineException e) {
            errors.add(source, e.getMessage());
        }
    }
}
