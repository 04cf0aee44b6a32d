package lemonrail.config;

import java.util.List;

/** The table {@code [fleet]}; values with problems are null. */
record FleetTable(List<String> zones, String ownZone, Boolean weighted) {

    static FleetTable read(TomlDocument document) {
        TableReader table = document.table(Schema.FLEET);
        FleetTable fleet =
                new FleetTable(table.get(Schema.ZONES), table.get(Schema.OWN_ZONE), table.get(Schema.WEIGHTED));
        fleet.checkZone(table, Schema.OWN_ZONE, fleet.ownZone);
        return fleet;
    }

    /** Reports a zone that is not one of the fleet's. */
    void checkZone(TableReader table, ConfigKey<String> key, String zone) {
        if (zone != null && zones != null && !zones.contains(zone)) {
            table.addProblem(key, "is none of fleet.zones, which are " + zones);
        }
    }

    /** Returns the index of a zone, the first one for null; for a document without problems. */
    int indexOf(String zone) {
        return zone == null ? 0 : zones.indexOf(zone);
    }
}
