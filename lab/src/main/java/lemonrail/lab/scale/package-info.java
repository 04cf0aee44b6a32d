/**
 * Scale runs, which measure what the control plane costs with many sidecars. A few real sidecars run in processes
 * of their own; the others are hollow, which means that many share this process and each runs only the code that
 * follows the control plane.
 */
package lemonrail.lab.scale;
