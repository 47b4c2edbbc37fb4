package org.coriandercrank.experiment;

import java.util.List;
import java.util.logging.Level;
import org.coriandercrank.experiment.internal.ExperimentSettings;
import org.coriandercrank.experiment.internal.FleetExperiment;
import org.coriandercrank.experiment.internal.OverloadExperiment;
import org.coriandercrank.experiment.internal.PlacementExperiment;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.log.LogSetup;
import org.coriandercrank.kernel.settings.SettingsLoader;

/** The program {@code crank-experiment}: runs the experiment that a setting selects. */
public final class CrankExperiment {
    private static final int EXIT_SETTINGS = 2;

    private CrankExperiment() {}

    public static void main(String[] arguments) {
        LogSetup.configure(Level.WARNING);
        ExperimentSettings settings = new ExperimentSettings();
        try {
            SettingsLoader.load(settings, List.of(arguments), System.getenv());
        } catch (CrankException e) {
            System.err.println(e.code() + " (" + e.code().number() + "):\n" + e.getMessage());
            System.err.println(SettingsLoader.usage(settings));
            System.exit(EXIT_SETTINGS);
        }
        run(settings);
        System.exit(0);
    }

    private static void run(ExperimentSettings settings) {
        switch (settings.experiment()) {
            case "placement" -> new PlacementExperiment(settings, System.out::println).call();
            case "overload" -> new OverloadExperiment(settings, System.out::println).call();
            default -> {
                FleetExperiment experiment = new FleetExperiment(settings, System.out::println);
                settings.sizes().forEach(experiment::call);
            }
        }
    }
}
