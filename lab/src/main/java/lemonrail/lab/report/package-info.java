/** Results of runs: scores, stored raw data, reports, charts and comparisons. */
package lemonrail.lab.report;
