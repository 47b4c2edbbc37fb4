/** Tests of the state machines of the daemon, which perform no input or output. */
package org.coriandercrank.daemon.test;
