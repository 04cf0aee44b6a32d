package lemonrail.config;

import java.util.LinkedHashMap;
import java.util.Map;
import lemonrail.logging.EventLog;
import lemonrail.logging.LogSettings;
import lemonrail.logging.Severity;

/** The table {@code [logging]}, the same for edges and control nodes; invalid values are null. */
record LoggingTable(LogSettings.Format format, Severity level, Map<String, Severity> levels, Integer queue) {

    static LoggingTable read(TomlDocument document) {
        TableReader table = document.table(Schema.LOGGING);
        return new LoggingTable(
                table.get(Schema.LOG_FORMAT),
                table.get(Schema.LOG_LEVEL),
                table.get(Schema.LOG_LEVELS),
                table.get(Schema.LOG_QUEUE));
    }

    /** Returns the settings; to be called for a document without problems. */
    LogSettings toSettings() {
        Map<String, Severity> allLevels = new LinkedHashMap<>();
        allLevels.put(EventLog.ROOT, level);
        allLevels.putAll(levels);
        return new LogSettings(format, allLevels, queue);
    }
}
