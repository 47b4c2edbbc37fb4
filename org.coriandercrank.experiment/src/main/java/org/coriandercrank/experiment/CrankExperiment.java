package org.coriandercrank.experiment;

import java.util.logging.Level;
import org.coriandercrank.experiment.internal.ExperimentSettings;
import org.coriandercrank.experiment.internal.FleetExperiment;
import org.coriandercrank.experiment.internal.OverloadExperiment;
import org.coriandercrank.experiment.internal.PlacementExperiment;
import org.coriandercrank.kernel.log.LogSetup;
import org.coriandercrank.kernel.settings.CommandLine;

/** The program {@code crank-experiment}: runs the experiment selected by the settings and prints its results. */
public final class CrankExperiment {

    private CrankExperiment() {}

    public static void main(String[] arguments) {
        LogSetup.configure(Level.WARNING);
        ExperimentSettings settings = CommandLine.loadOrExit("crank-experiment", new ExperimentSettings(), arguments);
        run(settings);
        System.exit(0);
    }

    private static void run(ExperimentSettings settings) {
        switch (settings.experiment()) {
            case "placement" -> new PlacementExperiment(settings, System.out::println).run();
            case "overload" -> new OverloadExperiment(settings, System.out::println).run();
            default -> {
                FleetExperiment experiment = new FleetExperiment(settings, System.out::println);
                settings.sizes().forEach(experiment::run);
            }
        }
    }
}
