package lemonrail.core.replication;

import java.util.Set;

/**
 * The result of merging another node's entries.
 *
 * @param changedTopics the topics with applied entries
 * @param appliedCount the number of entries that were applied
 * @param rejectedCount the number of entries that were rejected, see {@link MergeOutcome#isRejected}
 */
public record MergeResult(Set<String> changedTopics, int appliedCount, int rejectedCount) {}
