/**
 * The demo and the fault run. Both start a complete system on the loopback interface, with a process for each part. The
 * demo sends a few requests and checks the outcomes. The fault run kills and freezes processes while it sends requests.
 */
@NullMarked
package io.chivehollow.demo;

import org.jspecify.annotations.NullMarked;
