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
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import org.coriandercrank.ctl.internal.CtlCommand;
import org.coriandercrank.ctl.internal.CtlResult;
import org.coriandercrank.ctl.internal.CtlSettings;
import org.coriandercrank.ctl.internal.Fleet;
import org.coriandercrank.ctl.internal.NoteCommands;
import org.coriandercrank.ctl.internal.StatusCommands;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.log.LogSetup;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.plugin.PluginRegistry.Kind;
import org.coriandercrank.kernel.settings.SettingsLoader;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectStore;

/** The program {@code crankctl}. Results go to standard output, progress and faults to standard error. */
public final class CrankCtl {
    private static final int EXIT_USAGE = 2;

    private CrankCtl() {}

    public static void main(String[] arguments) {
        LogSetup.configure(Level.WARNING);
        System.exit(run(List.of(arguments), System.getenv(), System.out, System.err));
    }

    /** Runs one command and returns the exit code. */
    public static int run(List<String> arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        List<String> words = new ArrayList<>();
        List<String> flags = new ArrayList<>(arguments);
        while (!flags.isEmpty() && !flags.get(0).startsWith("--")) {
            words.add(flags.remove(0));
        }
        try {
            CtlSettings settings = SettingsLoader.load(new CtlSettings(), flags, environment);
            return run(String.join(" ", words), settings, out, err);
        } catch (CrankException e) {
            err.println(e.code() + " (" + e.code().number() + "): " + e.getMessage());
            return new CtlResult(e.code(), Map.of(), List.of()).exitCode();
        }
    }

    private static int run(String name, CtlSettings settings, PrintStream out, PrintStream err) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        PluginRegistry plugins = PluginRegistry.load();
        try (ObjectStore store = plugins.get(Kind.STORE, settings.storeAdapterName())
                .open(settings.storeHostAddress(), settings.storeTimeoutMs())) {
            Fleet fleet = new Fleet(store, group, plugins);
            Map<String, CtlCommand> commands = commands(settings, fleet, err);
            CtlCommand command = commands.get(name);
            if (command == null) {
                err.println("commands: " + commands.keySet());
                err.println(SettingsLoader.usage(settings));
                return EXIT_USAGE;
            }
            return print(command.call(), settings, out);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static Map<String, CtlCommand> commands(CtlSettings settings, Fleet fleet, PrintStream err) {
        NoteCommands notes = new NoteCommands(settings, fleet, () -> readNote(settings.noteFile()), err::println);
        StatusCommands status = new StatusCommands(settings, fleet);
        Map<String, CtlCommand> commands = new TreeMap<>();
        commands.put("note check", notes::check);
        commands.put("note submit", notes::submit);
        commands.put("note status", notes::status);
        commands.put("note list", notes::list);
        commands.put("note show", notes::show);
        commands.put("note diff", notes::diff);
        commands.put("status", status::status);
        commands.put("members", status::members);
        commands.put("owners", status::owners);
        commands.put("explain", status::explain);
        return commands;
    }

    private static int print(CtlResult result, CtlSettings settings, PrintStream out) {
        if (settings.printJson()) {
            out.println(new String(
                    JsonCodec.encode(Map.of(
                            "code",
                            result.code().number(),
                            "name",
                            result.code().name(),
                            "result",
                            result.value())),
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
