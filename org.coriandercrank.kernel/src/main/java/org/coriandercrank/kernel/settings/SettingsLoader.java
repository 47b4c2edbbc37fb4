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
 * Fills settings from environment variables and flags; a flag wins. The variable of flag {@code --store-address} is
 * {@code CRANK_STORE_ADDRESS}. Stateless.
 */
public final class SettingsLoader {
    private static final String VARIABLE_PREFIX = "CRANK_";

    private SettingsLoader() {}

    /**
     * Fills and checks a bean.
     *
     * @param arguments flags as {@code --name value} or {@code --name=value}
     * @throws CrankException with {@link ResultCode#SETTING_INVALID} and one line for each fault
     */
    public static <T extends Settings> T load(T bean, List<String> arguments, Map<String, String> environment) {
        ValidationErrors faults = new ValidationErrors();
        CmdLineParser parser = new CmdLineParser(bean);
        for (OptionHandler<?> handler : parser.getOptions()) {
            String flag = ((NamedOptionDef) handler.option).name();
            String value = environment.get(variableName(flag));
            if (value != null) {
                apply(bean, flag, value, variableName(flag), faults);
            }
        }
        applyArguments(bean, arguments, faults);
        bean.validate(faults);
        if (!faults.isEmpty()) {
            throw new CrankException(ResultCode.SETTING_INVALID, String.join("\n", faults.messages()));
        }
        return bean;
    }

    /** Name of the environment variable of a flag. */
    public static String variableName(String flag) {
        return VARIABLE_PREFIX + flag.substring("--".length()).replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /** Names of a bean's flags, sorted. */
    static List<String> flags(Settings bean) {
        return new CmdLineParser(bean)
                .getOptions().stream()
                        .map(handler -> ((NamedOptionDef) handler.option).name())
                        .sorted()
                        .toList();
    }

    /** Usage text of a bean's flags. */
    public static String usage(Settings bean) {
        StringWriter out = new StringWriter();
        new CmdLineParser(bean).printUsage(out, null);
        return out.toString();
    }

    private static void applyArguments(Settings bean, List<String> arguments, ValidationErrors faults) {
        List<String> flags = flags(bean);
        List<String> rest = new ArrayList<>(arguments);
        while (!rest.isEmpty()) {
            String flag = rest.remove(0);
            int equalsSign = flag.indexOf('=');
            String name = equalsSign >= 0 ? flag.substring(0, equalsSign) : flag;
            if (!flags.contains(name)) {
                faults.add(name, unknown(name, flags));
                if (name.startsWith("--") && equalsSign < 0) {
                    skipValue(rest);
                }
            } else if (equalsSign >= 0) {
                apply(bean, name, flag.substring(equalsSign + 1), name, faults);
            } else if (rest.isEmpty()) {
                faults.add(flag, "needs a value");
            } else {
                apply(bean, flag, rest.remove(0), flag, faults);
            }
        }
    }

    private static String unknown(String name, List<String> flags) {
        return SpellingSuggestion.find(name, flags)
                .map(nearest -> "is not a flag; did you mean " + nearest + "?")
                .orElse("is not a flag");
    }

    /** The value of an unknown flag is no fault of its own. */
    private static void skipValue(List<String> rest) {
        if (!rest.isEmpty() && !rest.get(0).startsWith("--")) {
            rest.remove(0);
        }
    }

    private static void apply(Settings bean, String flag, String value, String source, ValidationErrors faults) {
        try {
            new CmdLineParser(bean).parseArgument(flag, value);
        } catch (CmdLineException e) {
            faults.add(source, e.getMessage());
        }
    }
}
