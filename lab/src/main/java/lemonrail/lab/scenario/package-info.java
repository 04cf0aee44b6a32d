/** Scenarios, and the reader of scenario files. */
package lemonrail.lab.scenario;
