/** Implementation of connections and of the message encoding. */
package org.coriandercrank.peer.internal;
