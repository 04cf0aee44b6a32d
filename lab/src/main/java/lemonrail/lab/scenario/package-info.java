/** Scenario files and their reader. */
package lemonrail.lab.scenario;
