package org.coriandercrank.ctl;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.logging.Level;
import org.coriandercrank.ctl.internal.ClusterReader;
import org.coriandercrank.ctl.internal.CtlCommand;
import org.coriandercrank.ctl.internal.CtlResult;
import org.coriandercrank.ctl.internal.CtlSettings;
import org.coriandercrank.ctl.internal.NoteCommands;
import org.coriandercrank.ctl.internal.StatusCommands;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.log.LogSetup;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.plugin.PluginRegistry.Kind;
import org.coriandercrank.kernel.settings.CommandLine;
import org.coriandercrank.kernel.settings.SpellingSuggestion;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectStore;

/**
 * The command line client {@code crankctl}. Prints results to standard output, progress and errors to standard error.
 */
public final class CrankCtl {
    /** The command groups of one run. Immutable. */
    private record Commands(NoteCommands notes, StatusCommands status) {}

    private static final Map<String, Function<Commands, CtlCommand>> COMMANDS = new TreeMap<>(Map.of(
            "note check", commands -> commands.notes()::check,
            "note submit", commands -> commands.notes()::submit,
            "note status", commands -> commands.notes()::status,
            "note list", commands -> commands.notes()::list,
            "note show", commands -> commands.notes()::show,
            "note diff", commands -> commands.notes()::diff,
            "status", commands -> commands.status()::status,
            "members", commands -> commands.status()::members,
            "owners", commands -> commands.status()::owners,
            "explain", commands -> commands.status()::explain));
    private static final String SYNOPSIS =
            "COMMAND [--FLAG VALUE]...\ncommands: " + String.join(", ", COMMANDS.keySet());

    /** Output with {@code --json true}. Immutable; the components are printed in this order. */
    private record JsonOutput(int code, String name, Object result) {}

    private CrankCtl() {}

    public static void main(String[] arguments) {
        LogSetup.configure(Level.WARNING);
        System.exit(run(List.of(arguments), System.getenv(), System.out, System.err));
    }

    /** Runs one command and returns the exit code of the process. */
    public static int run(List<String> arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        List<String> commandWords = new ArrayList<>();
        List<String> flags = new ArrayList<>(arguments);
        while (!flags.isEmpty() && !flags.get(0).startsWith("--")) {
            commandWords.add(flags.remove(0));
        }
        CtlSettings settings = new CtlSettings();
        OptionalInt exitCode = new CommandLine("crankctl", SYNOPSIS, out, err).load(settings, flags, environment);
        if (exitCode.isPresent()) {
            return exitCode.getAsInt();
        }
        String command = String.join(" ", commandWords);
        if (!COMMANDS.containsKey(command)) {
            return reportUnknownCommand(command, err);
        }
        return run(command, settings, out, err);
    }

    private static int run(String name, CtlSettings settings, PrintStream out, PrintStream err) {
        EventLoopGroup eventLoopGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        PluginRegistry plugins = PluginRegistry.load();
        try (ObjectStore store = plugins.get(Kind.STORE, settings.storeAdapterName())
                .open(settings.storeHostAddress(), settings.storeTimeoutMs())) {
            ClusterReader cluster = new ClusterReader(store, eventLoopGroup, plugins);
            Commands commands = new Commands(
                    new NoteCommands(settings, cluster, () -> readNote(settings.noteFile()), err::println),
                    new StatusCommands(settings, cluster));
            return printResult(COMMANDS.get(name).apply(commands).execute(), settings, out);
        } catch (CrankException e) {
            return printResult(reportFailure(e, err), settings, out);
        } finally {
            eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static int reportUnknownCommand(String command, PrintStream err) {
        err.println("\"" + command + "\" is not a command"
                + SpellingSuggestion.find(command, COMMANDS.keySet())
                        .map(suggestion -> "; did you mean \"" + suggestion + "\"?")
                        .orElse(""));
        err.println("commands: " + String.join(", ", COMMANDS.keySet()));
        return CommandLine.EXIT_USAGE;
    }

    /** Prints a failure to standard error and returns it as a result for {@code --json true}. */
    private static CtlResult reportFailure(CrankException failure, PrintStream err) {
        err.println(failure.code() + " (" + failure.code().number() + "): " + failure.getMessage());
        return new CtlResult(failure.code(), Map.of("message", String.valueOf(failure.getMessage())), List.of());
    }

    private static int printResult(CtlResult result, CtlSettings settings, PrintStream out) {
        if (settings.printJson()) {
            out.println(new String(
                    JsonCodec.encode(
                            new JsonOutput(result.code().number(), result.code().name(), result.value())),
                    StandardCharsets.UTF_8));
        } else {
            result.lines().forEach(out::println);
        }
        return result.exitCode();
    }

    private static String readNote(String file) {
        try {
            if ("-".equals(file)) {
                return new String(System.in.readAllBytes(), StandardCharsets.UTF_8);
            }
            return Files.readString(Path.of(file));
        } catch (IOException | UncheckedIOException e) {
            throw new CrankException(ResultCode.NOTE_UNREADABLE, "--file " + file + ": " + e.getMessage(), e);
        }
    }
}
