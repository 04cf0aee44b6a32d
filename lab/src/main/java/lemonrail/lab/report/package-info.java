/** Results of a run: tables, charts, scores and comparisons. */
package lemonrail.lab.report;
