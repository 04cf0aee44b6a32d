package lemonrail.config;

import java.util.List;

/** The table {@code [fleet]}; invalid values are null. */
record FleetTable(List<String> zones, String ownZone, Boolean weighted) {

    static FleetTable read(TomlDocument document) {
        TableReader table = document.table(Schema.FLEET);
        FleetTable fleet =
                new FleetTable(table.get(Schema.ZONES), table.get(Schema.OWN_ZONE), table.get(Schema.WEIGHTED));
        fleet.checkZone(table, Schema.OWN_ZONE, fleet.ownZone);
        return fleet;
    }

    /** Reports a zone that is not in {@code fleet.zones}; null is ignored. */
    void checkZone(TableReader table, ConfigKey<String> key, String zone) {
        if (zone != null && zones != null && !zones.contains(zone)) {
            table.addProblem(key, "is not one of fleet.zones, which are " + zones);
        }
    }

    /** Returns the index of a zone, or 0 for null; to be called for a document without problems. */
    int zoneIndex(String zone) {
        return zone == null ? 0 : zones.indexOf(zone);
    }
}
