package lemonrail.core.replication;

import java.util.Set;

/**
 * What the merge of another node's entries has changed.
 *
 * @param changedTopics the topics with applied entries
 * @param appliedCount how many entries were applied
 * @param rejectedCount how many entries were rejected by a bound of the store
 */
public record MergeResult(Set<String> changedTopics, int appliedCount, int rejectedCount) {}
