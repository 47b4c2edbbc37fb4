/** Implementation of links and of the message codec. */
package org.coriandercrank.peer.internal;
