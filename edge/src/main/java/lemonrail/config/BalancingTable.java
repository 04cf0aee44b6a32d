package lemonrail.config;

/** The table {@code [balancing]}: this edge among all edges of the fleet; invalid values are null. */
record BalancingTable(Integer balancers, Integer index, Integer tier, Double overQuotaWeight, Double crossZoneCost) {

    static BalancingTable read(TomlDocument document) {
        TableReader table = document.table(Schema.BALANCING);
        Integer balancers = table.get(Schema.BALANCERS);
        Integer index = table.get(Schema.BALANCER_INDEX);
        if (balancers != null && index != null && index >= balancers) {
            String message = "must be below balancing.balancers, which is " + balancers;
            table.addProblem(Schema.BALANCER_INDEX, message);
        }
        return new BalancingTable(
                balancers,
                index,
                table.get(Schema.TIER),
                table.get(Schema.OVER_QUOTA_WEIGHT),
                table.get(Schema.CROSS_ZONE_COST));
    }
}
